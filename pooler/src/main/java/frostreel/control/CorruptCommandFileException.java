package frostreel.control;

import java.io.IOException;

/** Thrown if a command file is corrupt or of another version, so that a retry would fail too. */
final class CorruptCommandFileException extends IOException {
    private static final long serialVersionUID = 1;

    CorruptCommandFileException(String reason) {
        super(reason);
    }

    CorruptCommandFileException(String reason, Throwable cause) {
        super(reason, cause);
    }
}
