package frostreel.control;

import java.io.IOException;

/** Thrown for a file of commands that is damaged or of another version, so that reading it again is useless. */
final class CorruptCommandFileException extends IOException {
    private static final long serialVersionUID = 1;

    CorruptCommandFileException(String reason) {
        super(reason);
    }

    CorruptCommandFileException(String reason, Throwable cause) {
        super(reason, cause);
    }
}
