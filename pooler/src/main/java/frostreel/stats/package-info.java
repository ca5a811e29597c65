/** The counters of {@code SHOW stats}. */
package frostreel.stats;
