/**
 * The operators' settings, and a reader of XML files in general, which validates them against a schema, limits their
 * size and reports all validation errors at once with line and key.
 *
 * <p>All values are immutable once read. Reading blocks, so it is done on the main thread and on the signal's
 * thread. Depends on the JDK's XML parser, and on {@code frostreel.log} and {@code frostreel.zones} for the
 * types of the settings. The parser's classes are not loaded if no file is configured.
 */
package frostreel.settings;
