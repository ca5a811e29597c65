package frostreel.lab;

import java.util.List;

/** The packages of the product, divided into those of every installation and the optional ones. */
final class Packages {
    /** The packages of which the program loads no class where the configuration does not ask for them. */
    static final List<String> OPTIONAL =
            List.of("frostreel.cluster", "frostreel.cluster.jgroups", "frostreel.membership", "frostreel.zones");

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
