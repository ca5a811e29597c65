/**
 * The operators' XML file, and the reading of XML files in general: checked against a schema, bounded in
 * size, with every fault reported by line and key at once.
 */
package frostreel.settings;
