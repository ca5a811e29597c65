/** The counters of {@code SHOW stats}, incremented by all packages on the I/O thread. */
package frostreel.stats;
