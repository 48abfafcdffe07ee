/*
 * Lets system calls of one process fail, for tests: loaded with LD_PRELOAD. FAULT_SWITCH names a file with lines
 * "CALL ERRNO PERIOD": every PERIOD-th call of that name (accept, connect, socket) fails with that error number. No call
 * fails while the file does not exist.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Returns the error number with which this call is to fail, or 0. */
static int fault(const char *call, unsigned *count) {
    const char *path = getenv("FAULT_SWITCH");
    FILE *file = path == NULL ? NULL : fopen(path, "re");
    char name[16];
    int error;
    unsigned period;
    int result = 0;
    if (file == NULL) {
        return 0;
    }
    while (fscanf(file, "%15s %d %u", name, &error, &period) == 3) {
        if (strcmp(name, call) == 0 && period > 0 && __atomic_add_fetch(count, 1, __ATOMIC_RELAXED) % period == 0) {
            result = error;
        }
    }
    fclose(file);
    return result;
}

#define FAIL_IF_DUE(call)                         \
    static unsigned count;                        \
    int saved_errno = errno;                      \
    int error = fault(call, &count);              \
    errno = saved_errno;                          \
    if (error != 0) {                             \
        errno = error;                            \
        return -1;                                \
    }

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    FAIL_IF_DUE("accept")
    int (*next)(int, struct sockaddr *, socklen_t *) = dlsym(RTLD_NEXT, "accept");
    return next(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    FAIL_IF_DUE("accept")
    int (*next)(int, struct sockaddr *, socklen_t *, int) = dlsym(RTLD_NEXT, "accept4");
    return next(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    FAIL_IF_DUE("connect")
    int (*next)(int, const struct sockaddr *, socklen_t) = dlsym(RTLD_NEXT, "connect");
    return next(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    FAIL_IF_DUE("socket")
    int (*next)(int, int, int) = dlsym(RTLD_NEXT, "socket");
    return next(domain, type, protocol);
}
