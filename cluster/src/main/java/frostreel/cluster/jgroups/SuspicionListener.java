package frostreel.cluster.jgroups;

import java.util.Collection;
import java.util.function.Consumer;
import org.jgroups.Address;
import org.jgroups.Event;
import org.jgroups.stack.Protocol;

/**
 * Top protocol of a stack. Forwards the members that the protocols below suspect, as a channel does not report them.
 */
final class SuspicionListener extends Protocol {
    private final Consumer<Collection<Address>> listener;

    SuspicionListener(Consumer<Collection<Address>> listener) {
        this.listener = listener;
    }

    @Override
    public Object up(Event event) {
        if (event.getType() == Event.SUSPECT) {
            Collection<Address> suspects = event.arg();
            listener.accept(suspects);
        }
        return super.up(event);
    }
}
