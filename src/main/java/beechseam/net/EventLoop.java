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
 * Serves connections, tasks and timers on one thread, in turns. A turn handles the ready channels first, then the
 * posted tasks, the due timers and the tasks for the end of the turn, in this order. An exception from a callback,
 * a task or a timer is logged and does not stop the loop.
 */
public final class EventLoop {
    private static final Logger LOG = System.getLogger(EventLoop.class.getName());
    private static final long NS_PER_MS = 1_000_000L;
    private static final long MAX_WAIT_NS = 1_000_000_000L;

    /** The handler of a channel's events, attached to the channel's selection key. */
    public interface Ready {
        /** Handles a channel that is ready for at least one operation of its interest set. */
        void ready(SelectionKey key) throws IOException;

        /**
         * Handles an exception thrown by {@link #ready}. The state of the channel is unknown then, so it is closed by
         * default.
         */
        default void fault(SelectionKey key, Exception cause) {
            closeQuietly(key.channel());
        }
    }

    /** The timers that this loop fires; their due times are on the clock of {@link #now}. */
    public final TimerQueue timers = new TimerQueue();

    /** The pool of read buffers that all connections of this loop share. */
    public final Buffers buffers;

    private final Selector selector;
    private final Queue<Runnable> postedTasks = new ConcurrentLinkedQueue<>();
    private ArrayList<Runnable> turnEndTasks = new ArrayList<>();
    /** Takes the place of {@link #turnEndTasks} while those tasks run, since they may add further tasks. */
    private ArrayList<Runnable> emptyTurnEndTasks = new ArrayList<>();

    private final Set<Runnable> descriptorFreedTasks = new LinkedHashSet<>();
    /**
     * The difference between Unix time and the monotonic clock when the loop was created. Times are in Unix time
     * because discovery gives start times in it; they come from the monotonic clock so that they never jump.
     */
    private final long clockOffsetNs = System.currentTimeMillis() * NS_PER_MS - System.nanoTime();

    private volatile boolean stopping;

    /** Creates a loop with its own buffer pool; the caller drives it with {@link #run} or {@link #turn}. */
    public EventLoop() throws IOException {
        this(new Buffers());
    }

    /** Creates a loop with a given pool of read buffers. */
    public EventLoop(Buffers buffers) throws IOException {
        this.buffers = buffers;
        selector = Selector.open();
    }

    /**
     * Returns the monotonic time in ns since the Unix epoch. The wall clock is read once, when the loop is created, so
     * later adjustments of the wall clock have no effect.
     */
    public long now() {
        return System.nanoTime() + clockOffsetNs;
    }

    /** Registers a non-blocking channel; {@code ops} are operations of {@link SelectionKey}. */
    public SelectionKey register(SelectableChannel channel, int ops, Ready ready) throws IOException {
        return channel.register(selector, ops, ready);
    }

    /**
     * Runs the task on the loop's thread, in this turn or the next. Only this method and {@link #stop} may
     * be called from other threads.
     */
    public void post(Runnable task) {
        postedTasks.add(task);
        selector.wakeup();
    }

    /**
     * Makes a blocking call, such as reading a file, on a new thread, then passes the result, which may be null, or
     * the exception to a callback on the loop's thread.
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
                "blocking-call");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Runs the task at the end of the current turn, after its channels, posted tasks and timers. May be called on the
     * loop's thread only.
     */
    public void atTurnEnd(Runnable task) {
        turnEndTasks.add(task);
    }

    /**
     * Runs the task once, after the next connection of this loop closes. An owner that ran out of file descriptors
     * uses it to retry early. A task that is registered several times runs once. May be called on the loop's thread
     * only.
     */
    public void whenDescriptorFreed(Runnable task) {
        descriptorFreedTasks.add(task);
    }

    /** Posts the waiting tasks after a channel has closed; the runtime frees its descriptor in the next selection. */
    void descriptorFreed() {
        if (!descriptorFreedTasks.isEmpty()) {
            postedTasks.addAll(descriptorFreedTasks);
            descriptorFreedTasks.clear();
        }
    }

    /** Makes {@link #run} return after the current turn. May be called from any thread. */
    public void stop() {
        stopping = true;
        selector.wakeup();
    }

    /** Runs turns until {@link #stop} is called, then closes the selector. */
    public void run() throws IOException {
        while (!stopping) {
            turn(MAX_WAIT_NS);
        }
        selector.close();
    }

    /** Runs one turn: waits for at most {@code maxWaitNs} until a channel, a task or a timer is due, then serves it. */
    public void turn(long maxWaitNs) throws IOException {
        long waitNs = postedTasks.isEmpty() && turnEndTasks.isEmpty() ? timers.untilNext(now(), maxWaitNs) : 0;
        if (waitNs < NS_PER_MS) {
            selector.selectNow(this::dispatch);
            if (waitNs > 0) { // select counts in ms, and 0 is no limit: round up to 1 ms here, down below
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
        while (!turnEndTasks.isEmpty()) { // a task may add another, for example by closing a connection
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
