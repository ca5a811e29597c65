package frostreel.control;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;

/**
 * Identifies a file that is in use, so that its removal, or another file under its name, is noticed. Methods block.
 *
 * @param key what the file system tells files apart by
 */
record FileIdentity(Path path, Object key) {
    /** Returns the identity of the file that is under this name now. */
    static FileIdentity of(Path path) throws IOException {
        return new FileIdentity(path, keyOf(path));
    }

    private static Object keyOf(Path path) throws IOException {
        return Files.readAttributes(path, BasicFileAttributes.class).fileKey();
    }

    /** Whether the file is still under its name. */
    boolean isCurrent() {
        try {
            return keyOf(path).equals(key);
        } catch (IOException missing) {
            return false;
        }
    }
}
