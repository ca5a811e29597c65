package frostreel.settings;

import java.util.List;
import java.util.stream.Collectors;

/** A file that is not taken, with all that is wrong in it. */
public final class FaultyFileException extends Exception {
    private final transient List<Fault> faults;

    public FaultyFileException(List<Fault> faults) {
        super(faults.stream().map(Fault::toString).collect(Collectors.joining(System.lineSeparator())));
        this.faults = List.copyOf(faults);
    }

    /** All faults, in the order of the file; never empty. */
    public List<Fault> faults() {
        return faults;
    }
}
