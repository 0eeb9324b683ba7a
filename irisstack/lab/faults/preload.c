/*
 * Makes one process see faults of its machine: a wall clock that is stepped, and system calls that fail.
 *
 * Loaded with LD_PRELOAD. IRISSTACK_FAULTS names a control file, mapped into the process, which the tester
 * writes while the process runs; see irisstack/lab/faults/rig.py for its layout. Without it nothing changes.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/types.h>
#include <time.h>
#include <unistd.h>

enum { RULES = 16, DESCRIPTORS = 65536 };
enum call { ACCEPT = 1, SOCKET, CONNECT, SEND, RECEIVE, WRITE, SYNC, OPEN_FILE, WAIT, READ };
enum kind { ANY = 0, CLIENT, PEER, ANY_FILE, FOLDER };
enum { KILL = -1 }; /* in place of an errno: the process is killed, after the bytes that the limit allows */

struct rule {
    int32_t call;     /* 0: the rule is off */
    int32_t kind;     /* of the descriptor */
    int32_t error;    /* errno to fail with; 0: the call is only made short */
    int32_t limit;    /* bytes that a transfer may take before that; -1: no limit */
    int32_t after;    /* so many calls pass first */
    int32_t count;    /* so many calls are hit; -1: all */
    int32_t hits;     /* calls hit so far, for the tester to read */
    int32_t delay_ms; /* a call that is hit takes so much longer */
};

struct control {
    int64_t wall_offset_ns;
    struct rule rules[RULES];
};

static struct control *control;
static const char *folder; /* descriptors of files in it are of the kind FOLDER */
static unsigned char kinds[DESCRIPTORS];

__attribute__((constructor)) static void load(void) {
    const char *path = getenv("IRISSTACK_FAULTS");
    if (path == NULL)
        return;
    int file = open(path, O_RDWR | O_CLOEXEC);
    if (file < 0)
        return;
    void *at = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (at != MAP_FAILED)
        control = at;
    folder = getenv("IRISSTACK_FAULTS_FOLDER");
}

#define REAL(name) \
    static __typeof__(name) *real; \
    if (real == NULL) \
        real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

/* ---- the wall clock ---- */

static int64_t wall_offset(void) {
    return control == NULL ? 0 : __atomic_load_n(&control->wall_offset_ns, __ATOMIC_RELAXED);
}

static void shift(int64_t *seconds, int64_t *nanoseconds) {
    int64_t sum = *nanoseconds + wall_offset();
    int64_t carry = sum / 1000000000;
    sum %= 1000000000;
    if (sum < 0) {
        sum += 1000000000;
        carry -= 1;
    }
    *seconds += carry;
    *nanoseconds = sum;
}

int clock_gettime(clockid_t clock, struct timespec *at) {
    REAL(clock_gettime);
    int result = real(clock, at);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t seconds = at->tv_sec, nanoseconds = at->tv_nsec;
        shift(&seconds, &nanoseconds);
        at->tv_sec = seconds;
        at->tv_nsec = nanoseconds;
    }
    return result;
}

int gettimeofday(struct timeval *restrict at, void *restrict zone) {
    REAL(gettimeofday);
    int result = real(at, zone);
    if (result == 0 && at != NULL) {
        int64_t seconds = at->tv_sec, nanoseconds = (int64_t)at->tv_usec * 1000;
        shift(&seconds, &nanoseconds);
        at->tv_sec = seconds;
        at->tv_usec = nanoseconds / 1000;
    }
    return result;
}

time_t time(time_t *at) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (at != NULL)
        *at = now.tv_sec;
    return now.tv_sec;
}

/* ---- calls that fail ---- */

static int is_of(enum kind kind, int descriptor) {
    struct stat about;
    if (descriptor < 0 || descriptor >= DESCRIPTORS)
        return 0;
    if (kind == ANY_FILE)
        return fstat(descriptor, &about) == 0 && S_ISREG(about.st_mode);
    return kinds[descriptor] == kind;
}

static void remember(int descriptor, enum kind kind) {
    if (descriptor >= 0 && descriptor < DESCRIPTORS)
        kinds[descriptor] = kind;
}

static void delay(int32_t milliseconds) {
    struct timespec left = {.tv_sec = milliseconds / 1000, .tv_nsec = milliseconds % 1000 * 1000000L};
    while (milliseconds > 0 && nanosleep(&left, &left) != 0 && errno == EINTR)
        continue;
}

/* The rule that hits this call, if any; a call is counted by each rule that it fits. */
static struct rule *hit(enum call call, int descriptor) {
    if (control == NULL)
        return NULL;
    for (int i = 0; i < RULES; i++) {
        struct rule *rule = &control->rules[i];
        if (__atomic_load_n(&rule->call, __ATOMIC_ACQUIRE) != (int)call)
            continue;
        if (rule->kind != ANY && !is_of(rule->kind, descriptor))
            continue;
        if (rule->after > 0) {
            rule->after--;
            continue;
        }
        if (rule->count == 0)
            continue;
        if (rule->count > 0)
            rule->count--;
        rule->hits++;
        delay(rule->delay_ms);
        return rule;
    }
    return NULL;
}

/* Fails a call that moves no bytes; returns whether it did. */
static int fails(enum call call, int descriptor) {
    struct rule *rule = hit(call, descriptor);
    if (rule == NULL)
        return 0;
    if (rule->error == KILL)
        raise(SIGKILL);
    errno = rule->error;
    return rule->error != 0;
}

/* What a rule lets through of a transfer: 1 to go on with `size` as it is now, 0 to fail with errno set. */
static int cut(enum call call, int descriptor, size_t *size) {
    struct rule *rule = hit(call, descriptor);
    if (rule == NULL)
        return 1;
    if (rule->error == 0) {
        if (rule->limit >= 0 && (size_t)rule->limit < *size)
            *size = rule->limit;
        return 1;
    }
    if (rule->error != KILL) {
        errno = rule->error;
        return 0;
    }
    if (call == WRITE && rule->limit > 0) {
        size_t part = (size_t)rule->limit < *size ? (size_t)rule->limit : *size;
        rule->call = 0;
        *size = part;
        return -1;
    }
    raise(SIGKILL);
    return 0;
}

int accept4(int descriptor, struct sockaddr *restrict address, socklen_t *restrict length, int flags) {
    REAL(accept4);
    if (fails(ACCEPT, descriptor))
        return -1;
    int accepted = real(descriptor, address, length, flags);
    remember(accepted, CLIENT);
    return accepted;
}

int accept(int descriptor, struct sockaddr *restrict address, socklen_t *restrict length) {
    REAL(accept);
    if (fails(ACCEPT, descriptor))
        return -1;
    int accepted = real(descriptor, address, length);
    remember(accepted, CLIENT);
    return accepted;
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (fails(SOCKET, -1))
        return -1;
    int made = real(domain, type, protocol);
    remember(made, PEER);
    return made;
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    if (fails(CONNECT, descriptor))
        return -1;
    return real(descriptor, address, length);
}

ssize_t send(int descriptor, const void *bytes, size_t size, int flags) {
    REAL(send);
    return cut(SEND, descriptor, &size) ? real(descriptor, bytes, size, flags) : -1;
}

ssize_t recv(int descriptor, void *bytes, size_t size, int flags) {
    REAL(recv);
    return cut(RECEIVE, descriptor, &size) ? real(descriptor, bytes, size, flags) : -1;
}

ssize_t write(int descriptor, const void *bytes, size_t size) {
    REAL(write);
    int way = cut(WRITE, descriptor, &size);
    if (way == 0)
        return -1;
    ssize_t written = real(descriptor, bytes, size);
    if (way < 0)
        raise(SIGKILL);
    return written;
}

ssize_t read(int descriptor, void *bytes, size_t size) {
    REAL(read);
    return cut(READ, descriptor, &size) ? real(descriptor, bytes, size) : -1;
}

int fsync(int descriptor) {
    REAL(fsync);
    return fails(SYNC, descriptor) ? -1 : real(descriptor);
}

int fdatasync(int descriptor) {
    REAL(fdatasync);
    return fails(SYNC, descriptor) ? -1 : real(descriptor);
}

static int in_folder(const char *path) {
    return folder != NULL && strncmp(path, folder, strlen(folder)) == 0;
}

/* Only files that a call may make anew can fail to open; reading a program's modules is left alone. */
#define OPEN(name) \
    int name(const char *path, int flags, ...) { \
        REAL(name); \
        mode_t mode = 0; \
        if (flags & (O_CREAT | O_TMPFILE)) { \
            va_list arguments; \
            va_start(arguments, flags); \
            mode = va_arg(arguments, mode_t); \
            va_end(arguments); \
        } \
        if ((flags & O_CREAT) && in_folder(path) && fails(OPEN_FILE, -1)) \
            return -1; \
        int opened = real(path, flags, mode); \
        remember(opened, in_folder(path) ? FOLDER : ANY); \
        return opened; \
    }

OPEN(open)
OPEN(open64)

int epoll_wait(int descriptor, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    return fails(WAIT, descriptor) ? -1 : real(descriptor, events, most, timeout);
}

int poll(struct pollfd *descriptors, nfds_t count, int timeout) {
    REAL(poll);
    return fails(WAIT, -1) ? -1 : real(descriptors, count, timeout);
}
