.PHONY: build demo test format lint run measure-plan measure-swarm measure-sessions measure-fleet scale \
	measure-membership measure-list measure-pressure capacity measure-capacity soak-shutdown

build:
	mvn -B -q -DskipTests package

# Runs stand-ins, a relay and a control service that sends valid and invalid versions, and prints what happens.
demo:
	mvn -B -q -DskipTests package
	java -cp "target/test-classes:target/lib/*" gatelock.standin.Demo

test:
	mvn -B verify

# Formats the sources; `mvn verify` fails if they are not formatted.
format:
	mvn -B -q spotless:apply

# Checks the compiler's lint, Error Prone and the format; every warning is an error.
lint:
	mvn -B -q clean test-compile spotless:check

# Runs a relay with the example configuration; start the example servers first: java examples/Toy.java
run: build
	PROXY_CONFIG=examples/relay.json java -jar target/gatelock.jar serve

# Prints the tables of docs/measurements/versioned-configuration.md.
measure-plan:
	mvn -B -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java -Xmx1g -cp "target/classes:target/test-classes:$$(cat target/test.classpath)" gatelock.config.ConfigBenchmark

# Compares request latency while 200 versions a second arrive with latency without any.
measure-swarm:
	mvn -B -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java -cp "target/classes:target/test-classes:$$(cat target/test.classpath)" gatelock.standin.ConfigUpdateBenchmark

# Measures memory, echoes and ordinary requests with idle sessions on one relay.
measure-sessions:
	mvn -B -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java -cp "target/classes:target/test-classes:$$(cat target/test.classpath)" gatelock.standin.SessionBenchmark

# Measures how often a simulated fleet releases bad builds and rolls good ones back: the table of
# docs/measurements/fleet.md.
measure-fleet:
	mvn -B -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java -cp "target/classes:target/test-classes:$$(cat target/test.classpath)" gatelock.fleet.VerdictRates 20

# Simulates one step of the ladder and writes the results to docs/capacity/scale.json: STEP=1/1000, 1/100, 1/10, 1/3
# or 1; PLAY=day, rack, zone, restart or every; MODE=all, scope or both; RELAYS=N simulates only N of the step's relays.
STEP ?= 1/1000
PLAY ?= every
MODE ?= all
RELAYS ?= 0
scale:
	mvn -B -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java -Xmx12g -XX:+UseParallelGC -XX:ParallelGCThreads=3 \
		-cp "target/classes:target/test-classes:$$(cat target/test.classpath)" gatelock.fleet.ScaleRun \
		$(STEP) $(PLAY) $(MODE) $(RELAYS) $$(git rev-parse --short HEAD)

# Compares the options for selecting a relay's endpoints and measures the cost of a scope: the tables of
# docs/measurements/membership.md and the slopes of docs/capacity/membership.json. Then checks that the full list fits in
# the memory that a relay has.
measure-membership:
	mvn -B -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx1g \
		-cp "target/classes:target/test-classes:$$(cat target/test.classpath)" gatelock.membership.SubsetBenchmark \
		options
	java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx1g \
		-cp "target/classes:target/test-classes:$$(cat target/test.classpath)" gatelock.membership.SubsetBenchmark \
		work docs/capacity/membership.json "$$(date -u +%Y-%m-%dT%H:%M:%SZ)-$$(git rev-parse --short HEAD)"
	java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xms96m -Xmx96m -Xmn64m \
		-cp "target/classes:target/test-classes:$$(cat target/test.classpath)" gatelock.membership.SubsetBenchmark fit

# Measures one relay with the platform's flags and a list of 200,000 endpoints, with and without a scope: the tables of
# docs/measurements/membership-relay.md. ROWS="2 write COMMIT" runs one row and writes its results;
# DEPLOY names the file whose run line has the flags.
DEPLOY ?= deploy/balancer.toml
measure-list:
	mvn -B -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java -Ddeploy=$(DEPLOY) -cp "target/classes:target/test-classes:$$(cat target/test.classpath)" gatelock.standin.EndpointListBenchmark $(ROWS)

# Plays clients that are slow, leave or flood on relays with the limits at the ends of their ranges. SECONDS and SEED of
# each play, KINDS names some of them; CORES below 1 lets each relay run only for that part of the time.
CORES ?= 1
SECONDS ?= 30
SEED ?= 1
measure-pressure:
	mvn -B -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java -Dcores=$(CORES) -cp "target/classes:target/test-classes:$$(cat target/test.classpath)" \
		gatelock.standin.ClientPressurePlay $(SECONDS) $(SEED) $(KINDS)

# Generates the tables and the chart of docs/CAPACITY.md from the files in docs/capacity/.
capacity:
	mvn -B -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java -cp "target/classes:target/test-classes:$$(cat target/test.classpath)" gatelock.capacity.CapacityPage

# Measures the slopes of docs/capacity/slopes.json again.
measure-capacity:
	mvn -B -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx4g -cp "target/classes:target/test-classes:$$(cat target/test.classpath)" \
		gatelock.capacity.Slopes docs/capacity/slopes.json

# Shuts relays down under load, seeds FIRST to LAST, and prints the requests that were lost.
FIRST ?= 1
LAST ?= 50
soak-shutdown:
	mvn -B -q -DskipTests package dependency:build-classpath -Dmdep.outputFile=target/test.classpath
	java -cp "target/classes:target/test-classes:$$(cat target/test.classpath)" gatelock.standin.ShutdownSoak $(FIRST) $(LAST)
