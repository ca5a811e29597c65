/**
 * The program's one clock and the deadlines kept on it. The package depends on no other; deadlines are used on the I/O
 * thread alone, while any thread may read the clock.
 */
package frostreel.time;
