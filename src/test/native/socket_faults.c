/*
 * Changes the waits, reads and writes of one process, for plays: loaded with LD_PRELOAD. SOCKET_FAULTS names what happens
 * on sockets: every second call fails with EINTR ("wait-eintr", "read-eintr", "write-eintr"), or "short" (one byte at a time).
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/stat.h>
#include <unistd.h>

static int fault_is(const char *name) {
    const char *mode = getenv("SOCKET_FAULTS");
    return mode != NULL && strcmp(mode, name) == 0;
}

static int is_socket(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int interrupted(const char *mode, unsigned *count) {
    return fault_is(mode) && __atomic_add_fetch(count, 1, __ATOMIC_RELAXED) % 2 == 0;
}

int epoll_wait(int epoll, struct epoll_event *events, int most, int timeout) {
    static unsigned count;
    int (*next)(int, struct epoll_event *, int, int) = dlsym(RTLD_NEXT, "epoll_wait");
    if (interrupted("wait-eintr", &count)) {
        errno = EINTR;
        return -1;
    }
    return next(epoll, events, most, timeout);
}

ssize_t read(int fd, void *buffer, size_t length) {
    static unsigned count;
    ssize_t (*next)(int, void *, size_t) = dlsym(RTLD_NEXT, "read");
    if (length == 0 || !is_socket(fd)) {
        return next(fd, buffer, length);
    }
    if (interrupted("read-eintr", &count)) {
        errno = EINTR;
        return -1;
    }
    return next(fd, buffer, fault_is("short") ? 1 : length);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    static unsigned count;
    ssize_t (*next)(int, const void *, size_t) = dlsym(RTLD_NEXT, "write");
    if (length == 0 || !is_socket(fd)) {
        return next(fd, buffer, length);
    }
    if (interrupted("write-eintr", &count)) {
        errno = EINTR;
        return -1;
    }
    return next(fd, buffer, fault_is("short") ? 1 : length);
}
