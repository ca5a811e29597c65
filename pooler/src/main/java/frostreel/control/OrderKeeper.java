package frostreel.control;

import frostreel.net.Loop;
import frostreel.operation.Orders;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Consumer;
import java.util.logging.Logger;

/**
 * Keeps orders where a successor finds them, and takes over those of a process that serves beside this one.
 * The files are read and written on the worker's task thread, one task after another; what comes of it is
 * handed to the loop.
 */
final class OrderKeeper {
    /** A part of the second within which the rule on drains counts an order as told. */
    private static final long LOOK_US = 150_000;
    private static final Logger LOG = Logger.getLogger(OrderKeeper.class.getName());
    private final Loop loop;
    private final OrderFolder folder;
    private boolean told;

    OrderKeeper(Loop loop, Path folder, String life) {
        this.loop = loop;
        this.folder = new OrderFolder(folder, life);
    }

    /** What earlier lives left; before the loop has anything to do. */
    Map<String, Orders.Order> start() {
        try {
            folder.clean();
        } catch (IOException e) {
            LOG.warning("orders of earlier lives are not cleared away: " + e);
        }
        return look();
    }

    private Map<String, Orders.Order> look() {
        try {
            return folder.read();
        } catch (IOException e) {
            if (!told) {
                LOG.warning("orders of other processes cannot be read: " + e);
            }
            told = true;
            return Map.of();
        }
    }

    /** Looks on and on for what other processes heard. */
    void watch(Consumer<Map<String, Orders.Order>> found) {
        loop.deadlines().after(LOOK_US, () -> loop.worker().execute(() -> {
            Map<String, Orders.Order> heard = look();
            loop.thread().execute(() -> {
                if (!heard.isEmpty()) {
                    found.accept(heard);
                }
                watch(found);
            });
        }));
    }

    /** Keeps these, then tells: null, or why they would not outlast an end. */
    void keep(Map<String, Orders.Order> orders, Consumer<String> done) {
        loop.worker().execute(() -> {
            String failure = null;
            try {
                folder.write(orders);
            } catch (IOException e) {
                LOG.warning("orders cannot be kept for a successor: " + e);
                failure = "cannot be kept for a successor";
            }
            String why = failure;
            loop.thread().execute(() -> done.accept(why));
        });
    }
}
