package frostreel.control;

import frostreel.net.Loop;
import frostreel.operation.Orders;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.Supplier;
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
        loop.deadlines().after(LOOK_US, () -> beside(this::look, heard -> {
            if (!heard.isEmpty()) {
                found.accept(heard);
            }
            watch(found);
        }));
    }

    /** Runs what may block on the task thread, and hands what comes of it to the loop. */
    private <T> void beside(Supplier<T> task, Consumer<T> then) {
        try {
            loop.worker().execute(() -> {
                T result = task.get();
                try {
                    loop.thread().execute(() -> then.accept(result));
                } catch (RejectedExecutionException e) {
                    LOG.fine("the loop has ended, and takes nothing more");
                }
            });
        } catch (RejectedExecutionException e) {
            LOG.fine("the program ends, and looks for orders no more");
        }
    }

    /** Keeps these, then tells: null, or why they would not outlast an end. */
    void keep(Map<String, Orders.Order> orders, Consumer<String> done) {
        beside(() -> {
            try {
                folder.write(orders);
                return null;
            } catch (IOException e) {
                LOG.warning("orders cannot be kept for a successor: " + e);
                return "cannot be kept for a successor";
            }
        }, done);
    }
}
