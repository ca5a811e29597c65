/** Data structures that several packages of the program use; it knows none of them. */
package frostreel.util;
