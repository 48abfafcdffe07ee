/** Many relays' decisions on one virtual clock, against a plain world; what it is judged by are the records alone. */
package gatelock.fleet;
