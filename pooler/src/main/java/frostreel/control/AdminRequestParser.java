package frostreel.control;

import frostreel.control.AdminRequest.Verb;

/** Parses request lines of the admin protocol: an upper-case verb, followed by a server id for some verbs. */
final class AdminRequestParser {
    private static final String SEPARATOR = " +";

    private AdminRequestParser() {}

    @SuppressWarnings("StringSplitter") // Trailing empty words are to be dropped.
    static AdminRequest parse(String line) {
        String[] words = line.trim().split(SEPARATOR);
        return switch (words.length) {
            case 1 -> new AdminRequest(verbWithoutArgument(words[0]), "");
            case 2 -> new AdminRequest(verbWithServerId(words[0]), words[1]);
            default -> new AdminRequest(Verb.UNKNOWN, "");
        };
    }

    private static Verb verbWithoutArgument(String verbName) {
        return switch (verbName) {
            case "STATUS" -> Verb.STATUS;
            case "PAUSE" -> Verb.PAUSE;
            case "RESUME" -> Verb.RESUME;
            default -> Verb.UNKNOWN;
        };
    }

    private static Verb verbWithServerId(String verbName) {
        return switch (verbName) {
            case "SUSPEND" -> Verb.SUSPEND;
            case "RESTORE" -> Verb.RESTORE;
            default -> Verb.UNKNOWN;
        };
    }
}
