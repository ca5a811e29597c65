package willowfield;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** The decision module stays small enough to be read in one's first days. */
class SizeTest {
    @Test
    void theModuleHasAtMost950NonBlankLines() throws Exception {
        long lines = Files.readAllLines(Path.of("src/main/java/willowfield/Brain.java")).stream()
                .filter(line -> !line.isBlank()).count();
        assertTrue(lines > 100 && lines <= 950, "Brain.java has " + lines + " non-blank lines");
    }
}
