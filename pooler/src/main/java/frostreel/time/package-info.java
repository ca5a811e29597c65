/**
 * The program's one clock and the deadlines kept on it. It knows no other package, and is used on the I/O thread alone
 * but for the clock, which any thread may read.
 */
package frostreel.time;
