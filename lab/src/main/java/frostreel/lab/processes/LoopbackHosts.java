package frostreel.lab.processes;

/** Host addresses on loopback that belong to this process alone, so that runs side by side never meet. */
final class LoopbackHosts {
    private static final int VALUES = 250;

    private LoopbackHosts() {}

    /** The address of a number from 1 to 254. */
    static String host(int number) {
        long pid = ProcessHandle.current().pid();
        return "127." + (1 + pid % VALUES) + "." + pid / VALUES % VALUES + "." + number;
    }
}
