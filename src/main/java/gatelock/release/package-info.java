/** Client of the release controller: casts votes and follows the state of the newest build. */
package gatelock.release;
