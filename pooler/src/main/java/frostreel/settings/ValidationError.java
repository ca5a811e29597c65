package frostreel.settings;

/**
 * One validation error in a file.
 *
 * @param file the path of the file, as given to the reader
 * @param line from 1; 0 if the error concerns the file as a whole
 * @param column from 1; 0 if the error concerns the file as a whole
 * @param key the path of element names to the invalid element, followed by {@code @} and a name for an invalid
 *     attribute; empty if the error concerns the file as a whole
 * @param message what is wrong, for operators
 */
public record ValidationError(String file, int line, int column, String key, String message) {
    /** Creates an error that concerns the file as a whole. */
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
