package frostreel.settings;

/**
 * One error in a file.
 *
 * @param file its path as it was given
 * @param line from 1; 0 where the file as a whole is meant
 * @param column from 1; 0 where the file as a whole is meant
 * @param key the path of element names to the faulty element, and {@code @} with the attribute's name if it
 *     is one; empty where the file as a whole is meant
 * @param text what is wrong, for operators
 */
public record Fault(String file, int line, int column, String key, String text) {
    /** A fault of the file as a whole. */
    static Fault ofWholeFile(String file, String text) {
        return new Fault(file, 0, 0, "", text);
    }

    boolean isAtSamePlace(Fault other) {
        return line == other.line && column == other.column;
    }

    boolean namesAttribute() {
        return key.contains("@");
    }

    @Override
    public String toString() {
        String place = line > 0 ? ":" + line + ":" + column : "";
        return file + place + ": " + (key.isEmpty() ? "" : key + ": ") + text;
    }
}
