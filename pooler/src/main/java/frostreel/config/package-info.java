/**
 * What the platform configures at the start and by SIGHUP: the environment and the JSON file that {@code
 * GW_CONFIG} names, read and checked as a whole. Endpoint lists are here too, as the file holds one and
 * discovery sends the same form.
 */
package frostreel.config;
