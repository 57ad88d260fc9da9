package beechseam.knownred;

import beechseam.knownred.KnownRedEntry.TestEntry;
import java.lang.reflect.Method;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.ExtensionContext.Namespace;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.TestAbortedException;

/**
 * Runs the tests of {@link KnownRedList} like all others. A failure of a listed test is printed with its cause
 * and reported as an aborted test, so that the build continues. If no invocation of a listed test fails, or
 * its listed seed is not run, its class fails, as the test must be removed from the list.
 */
public final class KnownRedExtension implements InvocationInterceptor, AfterAllCallback {
    /** Configuration parameter for the path of a list that replaces {@link KnownRedList#FILE}. */
    static final String FILE_PARAMETER = "beechseam.knownred.file";

    private static final Namespace NAMESPACE = Namespace.create(KnownRedExtension.class);

    /** The listed tests of a class of which an invocation ran, and whether any has failed. */
    private static final class Outcomes {
        private final Map<TestEntry, Boolean> failed = new ConcurrentHashMap<>();
        /** Tests of which an invocation ran, but not yet the one that the entry names. */
        private final Set<TestEntry> awaited = ConcurrentHashMap.newKeySet();
    }

    @Override
    public void interceptTestMethod(
            Invocation<Void> invocation, ReflectiveInvocationContext<Method> method, ExtensionContext context)
            throws Throwable {
        run(invocation, method, context);
    }

    @Override
    public void interceptTestTemplateMethod(
            Invocation<Void> invocation, ReflectiveInvocationContext<Method> method, ExtensionContext context)
            throws Throwable {
        run(invocation, method, context);
    }

    private static void run(
            Invocation<Void> invocation, ReflectiveInvocationContext<Method> method, ExtensionContext context)
            throws Throwable {
        KnownRedList list = list(context);
        Outcomes outcomes = outcomes(context);
        list.tests().stream()
                .filter(entry -> entry.isMethod(method.getExecutable()))
                .forEach(outcomes.awaited::add);
        TestEntry entry =
                list.find(method.getExecutable(), method.getArguments()).orElse(null);
        if (entry == null) {
            invocation.proceed();
            return;
        }
        try {
            invocation.proceed();
            outcomes.failed.putIfAbsent(entry, false);
        } catch (Throwable failure) { // includes AssertionError
            outcomes.failed.put(entry, true);
            String text = "known red: " + entry.name() + ": " + entry.seen() + " (issue " + entry.issue() + ")";
            System.out.println(text + ": " + failure);
            throw new TestAbortedException(text, failure);
        }
    }

    @Override
    public void afterAll(ExtensionContext context) {
        Outcomes outcomes = outcomes(context);
        List<String> passing = outcomes.awaited.stream()
                .filter(entry -> !outcomes.failed.getOrDefault(entry, false))
                .map(TestEntry::name)
                .sorted()
                .toList();
        if (!passing.isEmpty()) {
            throw new AssertionError(
                    "remove the tests that pass, or whose seed is not run, from the list of known failures: "
                            + passing);
        }
    }

    private static Outcomes outcomes(ExtensionContext context) {
        Class<?> testClass = context.getRequiredTestClass();
        return context.getRoot()
                .getStore(NAMESPACE)
                .getOrComputeIfAbsent(testClass, ignored -> new Outcomes(), Outcomes.class);
    }

    private static KnownRedList list(ExtensionContext context) {
        Path file = context.getConfigurationParameter(FILE_PARAMETER, Path::of).orElse(KnownRedList.FILE);
        return context.getRoot()
                .getStore(NAMESPACE)
                .getOrComputeIfAbsent(file, ignored -> KnownRedList.read(file), KnownRedList.class);
    }
}
