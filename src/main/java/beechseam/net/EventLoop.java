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

/** One thread that serves all connections and timers. No exception leaves it. */
public final class EventLoop {
    private static final Logger LOG = System.getLogger(EventLoop.class.getName());
    private static final long LONGEST_WAIT_NS = 1_000_000_000L;

    /** What a selection key carries. */
    public interface Ready {
        void ready(SelectionKey key) throws IOException;

        /** A fault got out of {@link #ready}: whoever owns the channel must not go on counting on it. */
        default void fault(SelectionKey key, Exception why) {
            closeQuietly(key.channel());
        }
    }

    public final TimerQueue timers = new TimerQueue();
    public final Buffers buffers;
    private final Selector selector;
    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private ArrayList<Runnable> turnEnd = new ArrayList<>();
    private ArrayList<Runnable> spare = new ArrayList<>();
    private final Set<Runnable> descriptorWaiters = new LinkedHashSet<>();
    // Unix time that never steps: discovery dates starts in Unix time, and deadlines need a steady clock.
    private final long clockOffset = System.currentTimeMillis() * 1_000_000L - System.nanoTime();
    private volatile boolean stopping;

    public EventLoop() throws IOException {
        this(new Buffers());
    }

    EventLoop(Buffers buffers) throws IOException {
        this.buffers = buffers;
        selector = Selector.open();
    }

    public long now() {
        return System.nanoTime() + clockOffset;
    }

    public SelectionKey register(SelectableChannel channel, int ops, Ready ready) throws IOException {
        return channel.register(selector, ops, ready);
    }

    /** Runs it on the loop's thread; the only method for other threads, with {@link #stop}. */
    public void post(Runnable task) {
        posted.add(task);
        selector.wakeup();
    }

    /**
     * Makes a slow call, such as reading a file, on a thread of its own, and hands what it gave, or the
     * exception that it threw, to the loop's thread: the loop must not stand still for it.
     */
    public <T> void callAside(Callable<T> call, Consumer<T> done, Consumer<Exception> failed) {
        Thread aside = new Thread(
                () -> {
                    try {
                        T result = call.call();
                        post(() -> done.accept(result));
                    } catch (Exception e) {
                        post(() -> failed.accept(e));
                    }
                },
                "aside");
        aside.setDaemon(true);
        aside.start();
    }

    /**
     * Runs it on the loop's thread when all that this turn brings has been seen to; for the loop's thread
     * only.
     */
    public void atTurnEnd(Runnable task) {
        turnEnd.add(task);
    }

    /**
     * Runs it once when a connection of this loop has given its descriptor back, for who could not open one,
     * however often it is asked for until then; for the loop's thread only.
     */
    public void whenDescriptorFreed(Runnable task) {
        descriptorWaiters.add(task);
    }

    /** A channel has been closed. The runtime lets its descriptor go in the next selection. */
    void descriptorFreed() {
        if (!descriptorWaiters.isEmpty()) {
            posted.addAll(descriptorWaiters);
            descriptorWaiters.clear();
        }
    }

    public void stop() {
        stopping = true;
        selector.wakeup();
    }

    public void run() throws IOException {
        while (!stopping) {
            turn(LONGEST_WAIT_NS);
        }
        selector.close();
    }

    /** One turn: waits for something to do, at most so long, and does it. */
    public void turn(long longestWaitNs) throws IOException {
        long wait = posted.isEmpty() && turnEnd.isEmpty() ? timers.untilNext(now(), longestWaitNs) : 0;
        if (wait < 1_000_000L) {
            selector.selectNow(this::serve);
            if (wait > 0) { // the selector counts in milliseconds: rather early than late
                selector.select(this::serve, 1);
            }
        } else {
            selector.select(this::serve, wait / 1_000_000L);
        }
        for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
            guarded(task);
        }
        long now = now();
        for (Timer t = timers.due(now); t != null; t = timers.due(now)) {
            guarded(t::run);
        }
        while (!turnEnd.isEmpty()) { // what one brings about, such as a close, may add another
            ArrayList<Runnable> due = turnEnd;
            turnEnd = spare;
            due.forEach(EventLoop::guarded);
            due.clear();
            spare = due;
        }
    }

    private void serve(SelectionKey key) {
        try {
            ((Ready) key.attachment()).ready(key);
        } catch (CancelledKeyException e) {
            LOG.log(Level.DEBUG, "a connection closed in the same turn");
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.ERROR, "fault on a connection", e);
            guarded(() -> ((Ready) key.attachment()).fault(key, e));
        }
    }

    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "fault in a timer or task", e);
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
