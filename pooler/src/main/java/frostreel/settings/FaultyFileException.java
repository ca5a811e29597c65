package frostreel.settings;

import java.util.List;
import java.util.stream.Collectors;

/** A file was rejected; its message has a line for each fault. */
public final class FaultyFileException extends Exception {
    private final transient List<Fault> faults;

    /** With all faults that were found, at least one. */
    public FaultyFileException(List<Fault> faults) {
        super(faults.stream().map(Fault::toString).collect(Collectors.joining(System.lineSeparator())));
        this.faults = List.copyOf(faults);
    }

    /** All faults, in the order of the file; never empty. */
    public List<Fault> faults() {
        return faults;
    }
}
