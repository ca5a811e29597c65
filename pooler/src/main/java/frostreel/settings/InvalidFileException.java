package frostreel.settings;

import java.util.List;
import java.util.stream.Collectors;

/** A file was rejected; its message has a line for each fault. */
public final class InvalidFileException extends Exception {
    private final transient List<ValidationError> errors;

    /** With all faults that were found, at least one. */
    public InvalidFileException(List<ValidationError> errors) {
        super(errors.stream().map(ValidationError::toString).collect(Collectors.joining(System.lineSeparator())));
        this.errors = List.copyOf(errors);
    }

    /** All faults, in the order of the file; never empty. */
    public List<ValidationError> errors() {
        return errors;
    }
}
