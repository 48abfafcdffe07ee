/** What CI asks beyond the tests themselves. */
package gatelock.ci;
