/*
 * Preloaded into the program under test. Makes system calls fail and steps the wall clock, as set in a control
 * file that the test also maps into memory. The monotonic clock is not changed.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

/* Must have the layout that FaultControl.java writes. */
struct control {
    volatile int64_t step_ns;
    volatile int64_t accept_errno;
    volatile int64_t socket_errno;
    volatile int64_t connect_errno;
    volatile int64_t failed;
};

static struct control *control;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("FAULT_CONTROL");
    int file = path == NULL ? -1 : open(path, O_RDWR | O_CLOEXEC);
    if (file >= 0) {
        void *at = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
        control = at == MAP_FAILED ? NULL : at;
        close(file);
    }
}

static int fails(int64_t error) {
    if (error == 0) {
        return 0;
    }
    __sync_fetch_and_add(&control->failed, 1);
    errno = (int) error;
    return 1;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    if (control != NULL && fails(control->accept_errno)) {
        return -1;
    }
    return (int) syscall(SYS_accept4, fd, address, length, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    return accept4(fd, address, length, 0);
}

int socket(int domain, int type, int protocol) {
    if (control != NULL && (domain == AF_INET || domain == AF_INET6) && fails(control->socket_errno)) {
        return -1;
    }
    return (int) syscall(SYS_socket, domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    if (control != NULL && fails(control->connect_errno)) {
        return -1;
    }
    return (int) syscall(SYS_connect, fd, address, length);
}

static void step(struct timespec *at) {
    int64_t ns = at->tv_nsec + (control == NULL ? 0 : control->step_ns % 1000000000);
    at->tv_sec += control == NULL ? 0 : control->step_ns / 1000000000;
    at->tv_sec += ns < 0 ? -1 : ns / 1000000000;
    at->tv_nsec = (ns + 1000000000) % 1000000000;
}

int clock_gettime(clockid_t clock, struct timespec *at) {
    int result = (int) syscall(SYS_clock_gettime, clock, at);
    if (result == 0 && clock == CLOCK_REALTIME) {
        step(at);
    }
    return result;
}

int gettimeofday(struct timeval *restrict at, void *restrict zone) {
    struct timespec now;
    (void) zone;
    clock_gettime(CLOCK_REALTIME, &now);
    at->tv_sec = now.tv_sec;
    at->tv_usec = now.tv_nsec / 1000;
    return 0;
}
