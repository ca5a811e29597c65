package frostreel.lab;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Every class named in the documentation exists, so that a rename includes the pages. */
class PagesTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern CODE = Pattern.compile("`([^`\n]+)`");
    /** At least two capitals; not in a path or command, nor after the dot of a file name. */
    private static final Pattern TYPE_NAME =
            Pattern.compile("(?<![\\w/<-])([A-Z][a-z0-9]+(?:[A-Z][a-z0-9]*)+)(?![\\w(-])");

    private static final Pattern DECLARATION = Pattern.compile("\\b(?:class|interface|enum|record)\\s+([A-Z]\\w*)");
    /** Classes of the JDK and of libraries, and protocol messages, that pages name. */
    private static final Set<String> EXTERNAL_NAMES = Set.of(
            "BackendKeyData",
            "CancelRequest",
            "EmptyQueryResponse",
            "ExtLogRecord",
            "FileBasedLog",
            "HostName",
            "Inet4AddressImpl",
            "InetAddress",
            "NioTcpServer",
            "RuntimeException");

    private static final Set<String> DECLARED = declared();

    static List<Path> pages() throws IOException {
        List<Path> pages = new ArrayList<>(List.of(ROOT.resolve("README.md"), ROOT.resolve("CONTRIBUTING.md")));
        try (Stream<Path> files = Files.walk(ROOT.resolve("docs"))) {
            files.filter(file -> file.toString().endsWith(".md")).sorted().forEach(pages::add);
        }
        return pages;
    }

    @ParameterizedTest
    @MethodSource("pages")
    void everyClassNamedInAPageExists(Path page) throws IOException {
        Set<String> unknown = new TreeSet<>();
        Matcher code = CODE.matcher(Files.readString(page));
        while (code.find()) {
            Matcher name = TYPE_NAME.matcher(code.group(1));
            while (name.find()) {
                if (!DECLARED.contains(name.group(1)) && !EXTERNAL_NAMES.contains(name.group(1))) {
                    unknown.add(name.group(1));
                }
            }
        }
        assertThat(unknown)
                .as("classes named in %s that are not declared", page)
                .isEmpty();
    }

    private static Set<String> declared() {
        Set<String> names = new TreeSet<>();
        for (String module : new String[] {"decisions", "cluster", "pooler", "lab"}) {
            try (Stream<Path> files = Files.walk(ROOT.resolve(module).resolve("src"))) {
                for (Path file :
                        files.filter(each -> each.toString().endsWith(".java")).toList()) {
                    Matcher declaration = DECLARATION.matcher(Files.readString(file));
                    while (declaration.find()) {
                        names.add(declaration.group(1));
                    }
                }
            } catch (IOException e) {
                throw new IllegalStateException("sources of " + module + " cannot be read", e);
            }
        }
        return names;
    }
}
