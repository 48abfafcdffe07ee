/** Stand-ins for what a relay speaks to, written from public specifications or our own; loopback only. */
package gatelock.standin;
