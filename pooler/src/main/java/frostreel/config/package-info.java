/**
 * What the platform configures at the start and by SIGHUP: the environment and the JSON file that {@code
 * GW_CONFIG} names, read and checked as a whole. Endpoint lists are here too, as the file holds one and
 * discovery sends the same form.
 *
 * <p>All values are immutable. Files are read on the main thread and on the signal's thread, as that blocks;
 * endpoint lists are read on the I/O thread too, without blocking. Depends on {@code frostreel.wire} for the
 * checks of fields and the settings of the routing decisions.
 */
package frostreel.config;
