/** Data structures without dependencies on other packages of the pooler. */
package frostreel.util;
