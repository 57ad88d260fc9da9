package beechseam.gearman;

import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Executes admin commands: those of the Gearman protocol, and the extensions {@code counters}, {@code drain} and
 * {@code undrain}. A response is one line that starts with OK or ERR, a line of JSON, or several lines followed by
 * a line with a single dot.
 */
final class Admin {
    private static final String END_OF_LIST = ".\n";
    private static final String OK = "OK\n";
    private final GearmanServer server;

    Admin(GearmanServer server) {
        this.server = server;
    }

    void answer(String line, GearmanConnection operator) {
        if (!line.isEmpty()) { // an empty line, such as a doubled line end, gets no answer
            operator.write(ByteBuffer.wrap(answer(line).getBytes(StandardCharsets.UTF_8)));
        }
    }

    private String answer(String line) {
        String[] words = line.split("\\s+");
        return switch (words[0].toLowerCase(java.util.Locale.ROOT)) {
            case "status" -> status();
            case "prioritystatus" -> priorityStatus();
            case "workers" -> workers();
            case "version" -> "OK " + version() + "\n";
            case "getpid" -> "OK " + ProcessHandle.current().pid() + "\n";
            case "verbose" -> "OK " + verbosity() + "\n";
            case "counters" -> server.figures() + "\n";
            case "maxqueue" -> maxQueue(words);
            case "create" -> create(words);
            case "drop" -> drop(words);
            case "show" -> show(words);
            case "cancel" -> cancel(words);
            case "drain" -> drain(words, true);
            case "undrain" -> drain(words, false);
            case "shutdown" -> shutdown(words);
            default -> error("UNKNOWN_COMMAND", "Unknown server command");
        };
    }

    private static String version() {
        String version = GearmanServer.class.getPackage().getImplementationVersion();
        return version == null ? "0" : version;
    }

    private static String verbosity() {
        System.Logger log = System.getLogger(GearmanServer.class.getName());
        for (Level level : new Level[] {Level.TRACE, Level.DEBUG, Level.INFO, Level.WARNING}) {
            if (log.isLoggable(level)) {
                return level.name();
            }
        }
        return Level.ERROR.name();
    }

    /** Formats an error; the protocol writes spaces in the message as plus signs. */
    private static String error(String code, String message) {
        return "ERR " + code + " " + message.replace(' ', '+') + "\n";
    }

    private static String incomplete() {
        return error("INVALID_ARGUMENTS", "An incomplete set of arguments was sent to this command");
    }

    private List<GearmanFunction> sorted() {
        List<GearmanFunction> all = new ArrayList<>(server.functions());
        all.sort(Comparator.comparing((GearmanFunction function) -> function.name));
        return all;
    }

    private String status() {
        StringBuilder lines = new StringBuilder();
        for (GearmanFunction function : sorted()) {
            lines.append(function.name)
                    .append('\t')
                    .append(function.alive)
                    .append('\t')
                    .append(function.running)
                    .append('\t')
                    .append(function.workers.groups.memberCount())
                    .append('\n');
        }
        return lines.append(END_OF_LIST).toString();
    }

    private String priorityStatus() {
        StringBuilder lines = new StringBuilder();
        for (GearmanFunction function : sorted()) {
            lines.append(function.name);
            for (int priority = 0; priority < GearmanFunction.PRIORITIES; priority++) {
                // Delayed jobs have normal priority.
                int delayedJobs = priority == 1 ? function.delayed.size() : 0;
                lines.append('\t').append(function.queues.queuedJobs(priority) + delayedJobs);
            }
            lines.append('\t').append(function.workers.groups.memberCount()).append('\n');
        }
        return lines.append(END_OF_LIST).toString();
    }

    private String workers() {
        StringBuilder lines = new StringBuilder();
        for (GearmanConnection each : server.connections()) {
            WorkerSession worker = each.worker();
            lines.append(worker == null ? 0 : worker.number)
                    .append(' ')
                    .append(each.peer())
                    .append(' ')
                    .append(each.clientId())
                    .append(" :");
            if (worker != null) {
                worker.functions().forEach(name -> lines.append(' ').append(name));
            }
            lines.append('\n');
        }
        return lines.append(END_OF_LIST).toString();
    }

    /**
     * Sets the queue limits of a function, one for each priority or one for all. A missing value or one below 1
     * removes the limit.
     */
    private String maxQueue(String[] words) {
        if (words.length < 2) {
            return incomplete();
        }
        int[] limits = new int[GearmanFunction.PRIORITIES];
        for (int i = 0; i < limits.length; i++) {
            String word = words.length == 2 ? "0" : words.length < 5 ? words[2] : words[2 + i];
            try {
                int limit = Integer.parseInt(word);
                limits[i] = limit < 1 ? Integer.MAX_VALUE : limit;
            } catch (NumberFormatException e) {
                return error("INVALID_ARGUMENTS", "a bound must be a whole number");
            }
        }
        GearmanFunction function = server.find(words[1]);
        if (function == null) {
            return OK; // the protocol answers OK for a function that does not exist
        }
        for (int priority = 0; priority < limits.length; priority++) {
            function.queues.setLimit(priority, limits[priority]);
        }
        return OK;
    }

    private String create(String[] words) {
        if (words.length != 3 || !words[1].equals("function")) {
            return incomplete();
        }
        GearmanFunction function = ClientSession.isValidName(words[2]) ? server.function(words[2], null, null) : null;
        if (function == null) {
            return error("CREATE_FUNCTION", words[2]);
        }
        function.pinned = true;
        return OK;
    }

    private String drop(String[] words) {
        if (words.length != 3 || !words[1].equals("function")) {
            return incomplete();
        }
        GearmanFunction function = server.find(words[2]);
        if (function == null) {
            return "ERR function not found\n";
        }
        if (!function.unused()) { // a rejected drop has no effect later, when they disconnect
            return "ERR there are still connected workers or executing clients\n";
        }
        server.removeFunction(function);
        return OK;
    }

    private String show(String[] words) {
        if (words.length == 2 && words[1].equals("jobs")) {
            StringBuilder lines = new StringBuilder();
            for (GearmanJob job : server.jobs.all()) { // columns: handle, retries, ignored, waiting
                lines.append(job.handle())
                        .append("\t0\t0\t")
                        .append(job.running() ? 0 : 1)
                        .append('\n');
            }
            return lines.append(END_OF_LIST).toString();
        }
        if (words.length == 3 && words[1].equals("unique") && words[2].equals("jobs")) {
            StringBuilder lines = new StringBuilder();
            for (GearmanJob job : server.jobs.all()) {
                if (!job.unique.isEmpty()) {
                    lines.append(job.unique).append('\n');
                }
            }
            return lines.append(END_OF_LIST).toString();
        }
        return error("UNKNOWN_SHOW_ARGUMENTS", "jobs, or unique jobs");
    }

    /** Cancels a job that no worker has started; a running job may already have had its side effects. */
    private String cancel(String[] words) {
        if (words.length != 3 || !words[1].equals("job")) {
            return incomplete();
        }
        GearmanJob job = server.jobs.byHandle(words[2]);
        if (job == null) {
            return error("UNKNOWN_JOB", words[2]);
        }
        if (job.running()) {
            return error("JOB_RUNNING", "a worker holds it");
        }
        server.cancel(job);
        return OK;
    }

    private String drain(String[] words, boolean drain) {
        if (words.length != 2) {
            return incomplete();
        }
        server.drain(words[1], drain);
        return OK;
    }

    private String shutdown(String[] words) {
        if (words.length > 2 || words.length == 2 && !words[1].equals("graceful")) {
            return error("INVALID_ARGUMENTS", "nothing, or graceful");
        }
        if (!server.config.turns().adminShutdown()) {
            return error("NOT_ALLOWED", "admin_shutdown is false here");
        }
        server.shutDown(words.length == 2);
        return OK;
    }
}
