/* Steps the wall clock of a process and makes its system calls fail, as a test tells it while the process runs.

   Loaded with LD_PRELOAD. FAULTS_PLAN names a file with a `struct plan`, in the machine's byte order, which
   `shim.py` writes and this library maps: what is written there binds at once. Calls fail as Linux documents;
   a call that is to fail is not made. The monotonic clock, timers and waits are the kernel's own. */

#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define NANOS 1000000000LL
#define RULES 16
#define DESCRIPTORS 65536
#define SHORT (-1)       /* the call takes or brings only a part */
#define SHORT_BYTES 16   /* which is that long at most */

/* The numbers of both enums are those of `Call` and `Peer` in shim.py. */
enum call { ACCEPT = 1, SOCKET, CONNECT, CONNECTED, RECV, SEND, WAIT, DUPLICATE };
enum peer { ANY, ACCEPTED, DIALLED };

struct rule {
    int32_t call;      /* 0: there is no such rule */
    int32_t failure;   /* an errno, or SHORT */
    int32_t peer;
    uint32_t chance;   /* of 2^32 - 1, which is always */
    int64_t from, to;  /* nanoseconds since the process began */
    int64_t left;      /* how often it may strike still */
    int64_t struck;    /* how often it has */
};

struct plan {
    int64_t clock_step; /* nanoseconds that are added to each reading of the wall clock */
    uint64_t seed;
    struct rule rules[RULES];
};

static struct plan *plan;
static int64_t began;
static uint64_t drawn;
static uint8_t peers[DESCRIPTORS]; /* `enum peer` of the sockets */

static int64_t monotonic(void)
{
    struct timespec now;
    syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
    return now.tv_sec * NANOS + now.tv_nsec;
}

__attribute__((constructor)) static void open_plan(void)
{
    const char *path = getenv("FAULTS_PLAN");
    if (path == NULL)
        return;
    int fd = open(path, O_RDWR | O_CLOEXEC);
    void *mapped = MAP_FAILED;
    if (fd >= 0 && lseek(fd, 0, SEEK_END) == (off_t)sizeof *plan)
        mapped = mmap(NULL, sizeof *plan, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    if (mapped == MAP_FAILED) {
        fprintf(stderr, "fault shim: FAULTS_PLAN: %s is no plan of this version, or can't be mapped\n", path);
        _exit(2);
    }
    close(fd);
    began = monotonic();
    plan = mapped;
}

static uint32_t draw(void) /* splitmix64 */
{
    uint64_t z = plan->seed + __atomic_add_fetch(&drawn, 0x9e3779b97f4a7c15u, __ATOMIC_RELAXED);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return (uint32_t)((z ^ (z >> 31)) >> 32);
}

/* An errno, which is then set too, SHORT, or 0 where the call goes through. */
static int failure(enum call call, int fd)
{
    if (plan == NULL)
        return 0;
    int peer = fd >= 0 && fd < DESCRIPTORS ? peers[fd] : ANY;
    int64_t age = monotonic() - began;
    for (struct rule *rule = plan->rules; rule < plan->rules + RULES; rule++) {
        if (rule->call != (int32_t)call || (rule->peer != ANY && rule->peer != peer))
            continue;
        if (age < rule->from || age >= rule->to || draw() > rule->chance)
            continue;
        if (__atomic_fetch_sub(&rule->left, 1, __ATOMIC_RELAXED) <= 0) {
            __atomic_fetch_add(&rule->left, 1, __ATOMIC_RELAXED);
            continue;
        }
        __atomic_fetch_add(&rule->struck, 1, __ATOMIC_RELAXED);
        if (rule->failure > 0)
            errno = rule->failure;
        return rule->failure;
    }
    return 0;
}

/* Whether the call fails; then errno says how. */
static int fails(enum call call, int fd)
{
    return failure(call, fd) > 0;
}

static size_t shortened(size_t size)
{
    return size < 2 ? size : 1 + draw() % (size < SHORT_BYTES ? size : SHORT_BYTES);
}

static void remember(int fd, enum peer peer)
{
    if (fd >= 0 && fd < DESCRIPTORS)
        peers[fd] = peer;
}

/* --- sockets --- */

int socket(int family, int kind, int protocol)
{
    if (fails(SOCKET, -1))
        return -1;
    int fd = (int)syscall(SYS_socket, family, kind, protocol);
    remember(fd, ANY);
    return fd;
}

int accept4(int fd, struct sockaddr *restrict address, socklen_t *restrict length, int flags)
{
    if (fails(ACCEPT, fd))
        return -1;
    int accepted = (int)syscall(SYS_accept4, fd, address, length, flags);
    remember(accepted, ACCEPTED);
    return accepted;
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    if (fails(CONNECT, fd))
        return -1;
    remember(fd, DIALLED);
    return (int)syscall(SYS_connect, fd, address, length);
}

int getsockopt(int fd, int level, int option, void *restrict value, socklen_t *restrict length)
{
    int failed = level == SOL_SOCKET && option == SO_ERROR ? failure(CONNECTED, fd) : 0;
    if (failed <= 0)
        return (int)syscall(SYS_getsockopt, fd, level, option, value, length);
    *(int *)value = failed;
    return 0;
}

ssize_t recv(int fd, void *data, size_t size, int flags)
{
    int failed = failure(RECV, fd);
    if (failed > 0)
        return -1;
    size = failed == SHORT ? shortened(size) : size;
    return syscall(SYS_recvfrom, fd, data, size, flags, NULL, NULL);
}

ssize_t send(int fd, const void *data, size_t size, int flags)
{
    int failed = failure(SEND, fd);
    if (failed > 0)
        return -1;
    size = failed == SHORT ? shortened(size) : size;
    return syscall(SYS_sendto, fd, data, size, flags, NULL, 0);
}

int fcntl(int fd, int command, ...)
{
    va_list given;
    va_start(given, command);
    void *argument = va_arg(given, void *);
    va_end(given);
    if (command == F_DUPFD_CLOEXEC && fails(DUPLICATE, fd))
        return -1;
    return (int)syscall(SYS_fcntl, fd, command, argument);
}

int fcntl64(int fd, int command, ...) __attribute__((alias("fcntl")));

/* --- waits --- */

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout)
{
    if (fails(WAIT, -1))
        return -1;
    return (int)syscall(SYS_epoll_pwait, fd, events, most, timeout, NULL, 8);
}

int poll(struct pollfd *polled, nfds_t count, int timeout)
{
    if (fails(WAIT, -1))
        return -1;
    struct timespec span = {timeout / 1000, timeout % 1000 * 1000000L};
    return (int)syscall(SYS_ppoll, polled, count, timeout < 0 ? NULL : &span, NULL, 8);
}

/* --- the wall clock --- */

int clock_gettime(clockid_t clock, struct timespec *now)
{
    int failed = (int)syscall(SYS_clock_gettime, clock, now);
    if (failed != 0 || plan == NULL || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE))
        return failed;
    int64_t at = now->tv_sec * NANOS + now->tv_nsec + *(volatile int64_t *)&plan->clock_step;
    now->tv_sec = at / NANOS;
    now->tv_nsec = at % NANOS;
    return 0;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone)
{
    (void)zone;
    struct timespec read;
    int failed = clock_gettime(CLOCK_REALTIME, &read);
    now->tv_sec = read.tv_sec;
    now->tv_usec = read.tv_nsec / 1000;
    return failed;
}

time_t time(time_t *now)
{
    struct timespec read;
    if (clock_gettime(CLOCK_REALTIME, &read) != 0)
        return -1;
    if (now != NULL)
        *now = read.tv_sec;
    return read.tv_sec;
}
