package frostreel.settings;

import java.util.List;
import java.util.stream.Collectors;

/** A file was rejected; the message has one line for each validation error. */
public final class InvalidFileException extends Exception {
    private final transient List<ValidationError> errors;

    /** {@code errors}: the validation errors found, at least one. */
    public InvalidFileException(List<ValidationError> errors) {
        super(errors.stream().map(ValidationError::toString).collect(Collectors.joining(System.lineSeparator())));
        this.errors = List.copyOf(errors);
    }

    /** Returns the validation errors, at least one. */
    public List<ValidationError> errors() {
        return errors;
    }
}
