/**
 * The clock of the program and the deadlines on it. The package depends on no other; deadlines are confined to the
 * I/O thread, while any thread may read the clock.
 */
package frostreel.time;
