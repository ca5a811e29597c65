package frostreel.simulator;

import frostreel.routing.Router;
import frostreel.wire.MalformedMessageException;
import frostreel.wire.MessageFields;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The instances of a simulation by name, and the endpoint lists that were registered for them. */
final class SimulatedInstances {
    /** The first stack frame in a package with this prefix is included when an exception is reported. */
    private static final String PROJECT_PACKAGE_PREFIX = "frostreel.";

    private static final int MAX_LIST_NUMBER = 15;
    private final Map<String, SimulatedInstance> instances = new HashMap<>();
    private final Map<Long, List<Router.Member>> registeredLists = new HashMap<>();
    private final SimulatedInstance.RouterFactory factory;
    private final StringBuilder out;
    private boolean routerFailed;

    SimulatedInstances(SimulatedInstance.RouterFactory factory, StringBuilder out) {
        this.factory = factory;
        this.out = out;
    }

    /** Whether a router has thrown an exception; no events are processed after that. */
    boolean routerFailed() {
        return routerFailed;
    }

    /** Passes an event to the instance that it names; an exception of its router is reported as a Fault message. */
    void event(String type, long nowUs, MessageFields message) throws MalformedMessageException {
        if (type.equals("Register")) {
            register(message);
            return;
        }
        String name = message.text("i");
        if (!type.equals("Create") && !instances.containsKey(name)) {
            throw new MalformedMessageException("field 'i': no instance '" + name + "' was created");
        }
        try {
            event(type, name, nowUs, message);
        } catch (RuntimeException e) {
            routerFailed = true;
            new ActionWriter(name, out).reportException(type + ": " + e + location(e));
        }
    }

    private void register(MessageFields message) throws MalformedMessageException {
        List<Router.Member> members = MessageDecoder.members(message);
        registeredLists.put(listNumber(message), members);
    }

    private void event(String type, String name, long nowUs, MessageFields message) throws MalformedMessageException {
        switch (type) {
            case "Create" -> instances.put(name, create(name, message));
            case "Endpoints" -> updateMembers(instances.get(name), nowUs, message);
            case "Down" -> instances.remove(name);
            default -> instances.get(name).event(type, nowUs, message);
        }
    }

    private SimulatedInstance create(String name, MessageFields message) throws MalformedMessageException {
        return SimulatedInstance.create(message, new ActionWriter(name, out), factory);
    }

    private void updateMembers(SimulatedInstance instance, long nowUs, MessageFields message)
            throws MalformedMessageException {
        Router.ListKind kind = MessageDecoder.listKind(message);
        List<Router.Member> members = kind == Router.ListKind.FAILED ? List.of() : registeredMembers(message);
        instance.updateMembers(nowUs, kind, members);
    }

    private List<Router.Member> registeredMembers(MessageFields message) throws MalformedMessageException {
        List<Router.Member> members = registeredLists.get(listNumber(message));
        if (members == null) {
            throw new MalformedMessageException("field 'buffer': no list was registered under this number");
        }
        return members;
    }

    private static long listNumber(MessageFields message) throws MalformedMessageException {
        return message.integer("buffer", 0, MAX_LIST_NUMBER, 0);
    }

    private static String location(RuntimeException exception) {
        for (StackTraceElement frame : exception.getStackTrace()) {
            if (frame.getClassName().startsWith(PROJECT_PACKAGE_PREFIX)) {
                return " at " + frame;
            }
        }
        return "";
    }
}
