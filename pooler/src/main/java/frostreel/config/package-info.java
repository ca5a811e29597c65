/**
 * The platform's configuration, read at the start and at SIGHUP: the environment and the JSON file that {@code
 * GW_CONFIG} names, validated as a whole. Endpoint lists are in this package too, as the file may contain one, in the
 * same format as discovery's.
 *
 * <p>All values are immutable. Files are read on the main thread and on the signal's thread, as reading blocks;
 * endpoint lists are also read on the I/O thread, without blocking. Depends on {@code frostreel.wire} for field
 * validation and for reading the settings of the routing decisions.
 */
package frostreel.config;
