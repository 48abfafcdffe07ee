/** Programs that only CI runs. */
package gatelock.ci;
