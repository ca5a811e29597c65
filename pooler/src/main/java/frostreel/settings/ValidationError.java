package frostreel.settings;

/**
 * One error in a file.
 *
 * @param file its path as it was given
 * @param line from 1; 0 where the file as a whole is meant
 * @param column from 1; 0 where the file as a whole is meant
 * @param key the path of element names to the faulty element, and {@code @} with the attribute's name if it
 *     is one; empty where the file as a whole is meant
 * @param message what is wrong, for operators
 */
public record ValidationError(String file, int line, int column, String key, String message) {
    /** A fault of the file as a whole. */
    static ValidationError forWholeFile(String file, String message) {
        return new ValidationError(file, 0, 0, "", message);
    }

    boolean hasSamePosition(ValidationError other) {
        return line == other.line && column == other.column;
    }

    boolean namesAttribute() {
        return key.contains("@");
    }

    @Override
    public String toString() {
        String place = line > 0 ? ":" + line + ":" + column : "";
        return file + place + ": " + (key.isEmpty() ? "" : key + ": ") + message;
    }
}
