package frostreel.lab;

import java.util.List;

/** All packages of the product: those that serve everywhere, and those absent where not configured. */
final class Packages {
    /** Of these, `run` in the deploy file loads nothing, and the guard fails where it does. */
    static final List<String> OPTIONAL =
            List.of("frostreel.cluster", "frostreel.cluster.jgroups", "frostreel.fleet", "frostreel.zones");

    static final List<String> SERVING = List.of(
            "frostreel",
            "frostreel.backend",
            "frostreel.broker",
            "frostreel.cli",
            "frostreel.config",
            "frostreel.control",
            "frostreel.discovery",
            "frostreel.frontend",
            "frostreel.log",
            "frostreel.net",
            "frostreel.operation",
            "frostreel.pg",
            "frostreel.routing",
            "frostreel.request",
            "frostreel.settings",
            "frostreel.simulator",
            "frostreel.stats",
            "frostreel.time",
            "frostreel.util",
            "frostreel.wire");

    private Packages() {}
}
