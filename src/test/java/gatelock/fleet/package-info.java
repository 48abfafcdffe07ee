/** Many relays' decisions on one virtual clock, against a plain world; judged by its records alone. */
package gatelock.fleet;
