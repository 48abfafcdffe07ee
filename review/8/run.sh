#!/bin/sh
# Plays case 8. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves out the
# disruption. Writes record.txt beside this file.
exec "$(dirname "$0")/../standin-2/play.sh" "$(dirname "$0")" BrokenVersion
