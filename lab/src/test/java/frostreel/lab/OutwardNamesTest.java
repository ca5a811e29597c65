package frostreel.lab;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Each name on the page of outward names is still found in the code, outside of comments and identifiers, so that a
 * rename inside does not change what clients, peers, operators and later processes read.
 */
class OutwardNamesTest {
    private static final Path ROOT = Path.of("..");
    private static final Path PAGE = ROOT.resolve("docs/design/outward-names.md");
    private static final String NAME_INDENT = "    ";
    private static final List<String> MODULES = List.of("decisions", "cluster", "pooler", "lab");
    private static final Pattern RESOURCE_FILE = Pattern.compile(".*\\.(?:xsd|xml|toml|json|c)");
    /** A string literal in group 1, a character literal in group 2, or a comment. */
    private static final Pattern LITERAL_OR_COMMENT = Pattern.compile(
            "(\"\"\"(?s:.*?)\"\"\"|\"(?:[^\"\\\\\n]|\\\\.)*\")|('(?:[^'\\\\]|\\\\.[^']*)')|(?s:/\\*.*?\\*/)|//[^\n]*");

    /** The constants of an enum: all up to the semicolon or the end of a body without methods. */
    private static final Pattern ENUM_CONSTANTS = Pattern.compile("\\benum\\s+\\w+[^{]*\\{([^;}]*)");

    private static final int MIN_NAMES = 500;

    @Test
    void everyNameOnThePageIsFoundInTheCode() throws IOException {
        String searched = outwardTexts();
        List<String> names = listedNames();

        assertThat(names).as("names on the page").hasSizeGreaterThan(MIN_NAMES);
        assertThat(names.stream().filter(name -> !containsWord(searched, name)))
                .as("names on the page that are not found in the code")
                .isEmpty();
    }

    private static List<String> listedNames() throws IOException {
        return Files.readAllLines(PAGE).stream()
                .filter(line -> line.startsWith(NAME_INDENT))
                .map(String::trim)
                .toList();
    }

    private static boolean containsWord(String text, String name) {
        return Pattern.compile("(?<!\\w)" + Pattern.quote(name) + "(?!\\w)")
                .matcher(text)
                .find();
    }

    /** The string literals and enum constants of all main code, and all resources, experiments and deploy files. */
    private static String outwardTexts() throws IOException {
        List<String> texts = new ArrayList<>();
        for (String module : MODULES) {
            Path main = ROOT.resolve(module).resolve("src/main");
            for (Path file : files(main, name -> name.endsWith(".java"))) {
                addJavaTexts(file, texts);
            }
            addFiles(main, texts);
        }
        addFiles(ROOT.resolve("experiments"), texts);
        addFiles(ROOT.resolve("deploy"), texts);
        return String.join("\n", texts);
    }

    private static void addJavaTexts(Path file, List<String> texts) throws IOException {
        String code = Files.readString(file);
        Matcher tokens = LITERAL_OR_COMMENT.matcher(code);
        while (tokens.find()) {
            if (tokens.group(1) != null) {
                texts.add(tokens.group(1));
            }
        }
        Matcher enums = ENUM_CONSTANTS.matcher(tokens.reset().replaceAll(" "));
        while (enums.find()) {
            texts.add(enums.group(1));
        }
    }

    private static void addFiles(Path folder, List<String> texts) throws IOException {
        for (Path file : files(folder, name -> RESOURCE_FILE.matcher(name).matches())) {
            texts.add(Files.readString(file));
        }
    }

    private static List<Path> files(Path folder, Predicate<String> accepts) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(Files::isRegularFile)
                    .filter(file -> accepts.test(file.getFileName().toString()))
                    .sorted()
                    .toList();
        }
    }
}
