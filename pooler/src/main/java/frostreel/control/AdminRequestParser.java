package frostreel.control;

import frostreel.control.AdminRequest.Verb;

/** Parses lines of the operators' protocol: a verb in capitals, for some followed by a server's id. */
final class AdminRequestParser {
    private static final String SEPARATOR = " +";

    private AdminRequestParser() {}

    @SuppressWarnings("StringSplitter") // Empty words at the end are meant to drop out.
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
