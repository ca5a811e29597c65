/** Data structures shared by several packages, none of which it depends on. */
package frostreel.util;
