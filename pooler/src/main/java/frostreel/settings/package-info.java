/**
 * The operators' XML file, and the reading of XML files in general: validated against a schema, bounded in size,
 * with every fault reported at once by line and key.
 *
 * <p>All values are immutable once read. Reading blocks, so it is done on the main thread and on the signal's
 * thread. Depends on the JDK's XML parser, and on {@code frostreel.log} and {@code frostreel.zones} for the
 * types of the settings. The parser's classes are not loaded while no file is named.
 */
package frostreel.settings;
