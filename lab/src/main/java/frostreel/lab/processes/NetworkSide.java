package frostreel.lab.processes;

/** The three kinds of remote parties of a pooler; each is reached through relays of its own. */
enum NetworkSide {
    CLIENTS,
    SERVERS,
    DISCOVERY
}
