package beechseam.net;

import beechseam.core.Timer;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

/**
 * One thread that serves all connections and timers. A turn serves ready channels first, then posted tasks,
 * due timers, and the tasks of the turn's end. No exception of a callback, task or timer leaves it.
 */
public final class EventLoop {
    private static final Logger LOG = System.getLogger(EventLoop.class.getName());
    private static final long NS_PER_MS = 1_000_000L;
    private static final long MAX_WAIT_NS = 1_000_000_000L;

    /** The attachment of a selection key: serves its channel. */
    public interface Ready {
        /** The channel is ready for some of the operations of its interest set. */
        void ready(SelectionKey key) throws IOException;

        /** An exception left {@link #ready}: the owner of the channel must not rely on it any more. */
        default void fault(SelectionKey key, Exception why) {
            closeQuietly(key.channel());
        }
    }

    /** The timers that this loop fires, on the clock of {@link #now}. */
    public final TimerQueue timers = new TimerQueue();

    /** The read buffers of all connections of this loop. */
    public final Buffers buffers;

    private final Selector selector;
    private final Queue<Runnable> postedTasks = new ConcurrentLinkedQueue<>();
    private ArrayList<Runnable> turnEndTasks = new ArrayList<>();
    /** Swapped with the list under way, which may be appended to meanwhile. */
    private ArrayList<Runnable> emptyTurnEndTasks = new ArrayList<>();

    private final Set<Runnable> descriptorFreedTasks = new LinkedHashSet<>();
    /** Added to the monotonic clock gives Unix time that never steps: discovery dates starts in Unix time. */
    private final long clockOffsetNs = System.currentTimeMillis() * NS_PER_MS - System.nanoTime();

    private volatile boolean stopping;

    /** A loop with buffers of its own; {@link #run} or {@link #turn} serves it. */
    public EventLoop() throws IOException {
        this(new Buffers());
    }

    EventLoop(Buffers buffers) throws IOException {
        this.buffers = buffers;
        selector = Selector.open();
    }

    /** Monotonic time in ns since the Unix epoch, which was read once: it does not follow steps of the wall clock. */
    public long now() {
        return System.nanoTime() + clockOffsetNs;
    }

    /** Registers a non-blocking channel; {@code ops} are operations of {@link SelectionKey}. */
    public SelectionKey register(SelectableChannel channel, int ops, Ready ready) throws IOException {
        return channel.register(selector, ops, ready);
    }

    /**
     * Runs the task on the loop's thread, in this turn or the next. With {@link #stop} the only method for other
     * threads.
     */
    public void post(Runnable task) {
        postedTasks.add(task);
        selector.wakeup();
    }

    /**
     * Makes a blocking call, such as reading a file, on a thread of its own, and passes its result, which may
     * be null, or its exception to a callback on the loop's thread.
     */
    public <T> void callAside(Callable<T> call, Consumer<T> done, Consumer<Exception> failed) {
        Thread thread = new Thread(
                () -> {
                    try {
                        T result = call.call();
                        post(() -> done.accept(result));
                    } catch (Exception e) {
                        post(() -> failed.accept(e));
                    }
                },
                "aside");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Runs the task at the end of the current turn, after its channels, tasks and timers; for the loop's
     * thread only.
     */
    public void atTurnEnd(Runnable task) {
        turnEndTasks.add(task);
    }

    /**
     * Runs the task once after a connection of this loop has closed, for an owner that ran out of
     * descriptors; the same task registered repeatedly still runs once. For the loop's thread only.
     */
    public void whenDescriptorFreed(Runnable task) {
        descriptorFreedTasks.add(task);
    }

    /** A channel has been closed. The runtime frees its descriptor in the next selection. */
    void descriptorFreed() {
        if (!descriptorFreedTasks.isEmpty()) {
            postedTasks.addAll(descriptorFreedTasks);
            descriptorFreedTasks.clear();
        }
    }

    /** Ends {@link #run} after the current turn; for any thread. */
    public void stop() {
        stopping = true;
        selector.wakeup();
    }

    /** Serves turns until {@link #stop}, then closes the selector. */
    public void run() throws IOException {
        while (!stopping) {
            turn(MAX_WAIT_NS);
        }
        selector.close();
    }

    /** One turn: waits until there is something to do, at most {@code maxWaitNs}, and does it. */
    public void turn(long maxWaitNs) throws IOException {
        long waitNs = postedTasks.isEmpty() && turnEndTasks.isEmpty() ? timers.untilNext(now(), maxWaitNs) : 0;
        if (waitNs < NS_PER_MS) {
            selector.selectNow(this::dispatch);
            if (waitNs > 0) { // the selector counts in milliseconds: rather early than late
                selector.select(this::dispatch, 1);
            }
        } else {
            selector.select(this::dispatch, waitNs / NS_PER_MS);
        }
        for (Runnable task = postedTasks.poll(); task != null; task = postedTasks.poll()) {
            runGuarded(task);
        }
        long nowNs = now();
        for (Timer timer = timers.due(nowNs); timer != null; timer = timers.due(nowNs)) {
            runGuarded(timer::run);
        }
        while (!turnEndTasks.isEmpty()) { // a task, such as one that closes a connection, may add another
            ArrayList<Runnable> due = turnEndTasks;
            turnEndTasks = emptyTurnEndTasks;
            due.forEach(EventLoop::runGuarded);
            due.clear();
            emptyTurnEndTasks = due;
        }
    }

    private void dispatch(SelectionKey key) {
        try {
            ((Ready) key.attachment()).ready(key);
        } catch (CancelledKeyException e) {
            LOG.log(Level.DEBUG, "ready event ignored reason=closed_in_same_turn");
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.ERROR, "channel handler failed", e);
            runGuarded(() -> ((Ready) key.attachment()).fault(key, e));
        }
    }

    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "task failed", e);
        }
    }

    static void closeQuietly(AutoCloseable channel) {
        try {
            channel.close();
        } catch (Exception e) {
            LOG.log(Level.DEBUG, "close failed", e);
        }
    }
}
