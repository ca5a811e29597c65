package frostreel.settings;

/**
 * What is wrong in a file, and where. Lines and columns count from 1; 0 where the file as a whole is meant.
 * {@code key} is the path of elements to the faulty one, and its attribute behind an {@code @}.
 */
public record Fault(String file, int line, int column, String key, String text) {
    @Override
    public String toString() {
        return file + (line > 0 ? ":" + line + ":" + column : "") + ": " + (key.isEmpty() ? "" : key + ": ") + text;
    }
}
