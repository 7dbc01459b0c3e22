/* A shared library for LD_PRELOAD: system calls of one process fail as Linux documents that they may.
 *
 * FAILING_CALLS_FILE names a file that holds `struct control`; whoever writes its rates decides how often each
 * kind of failure happens from then on, and reads how often it did. The draws follow from the seed and from the
 * order of the calls. Failures of a connection that stands are kept to those that this process opened: a client
 * whose machine is still there would rightly ask for its answer.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#define MILLION 1000000u
#define MOST_DESCRIPTORS 65536
#define SHORT_LENGTH 7 /* bytes: the most that a short read or write takes */

enum kind { ACCEPT, SOCKET, CONNECT, INTERRUPT, SHORT_READ, SHORT_WRITE, NO_BUFFERS, DEAD, LOG, KINDS };

struct control {
    uint64_t seed;
    uint32_t rate[KINDS];     /* failures in a million calls */
    uint32_t injected[KINDS]; /* failures so far */
};

static volatile struct control *control;
static uint64_t state;
static unsigned char opened_here[MOST_DESCRIPTORS]; /* by descriptor: whether this process connected it */
static unsigned char dying[MOST_DESCRIPTORS];       /* whether its next read tells that it is dead */

static int (*system_accept4)(int, struct sockaddr *, socklen_t *, int);
static int (*system_socket)(int, int, int);
static int (*system_connect)(int, const struct sockaddr *, socklen_t);
static ssize_t (*system_recv)(int, void *, size_t, int);
static ssize_t (*system_send)(int, const void *, size_t, int);
static ssize_t (*system_write)(int, const void *, size_t);
static int (*system_epoll_wait)(int, struct epoll_event *, int, int);

__attribute__((constructor)) static void open_control(void)
{
    system_accept4 = dlsym(RTLD_NEXT, "accept4");
    system_socket = dlsym(RTLD_NEXT, "socket");
    system_connect = dlsym(RTLD_NEXT, "connect");
    system_recv = dlsym(RTLD_NEXT, "recv");
    system_send = dlsym(RTLD_NEXT, "send");
    system_write = dlsym(RTLD_NEXT, "write");
    system_epoll_wait = dlsym(RTLD_NEXT, "epoll_wait");
    const char *path = getenv("FAILING_CALLS_FILE");
    if (!path)
        return;
    int file = open(path, O_RDWR | O_CLOEXEC);
    if (file < 0)
        return;
    void *mapped = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (mapped == MAP_FAILED)
        return;
    control = mapped;
    state = control->seed * 2 + 1;
}

static uint64_t draw(void) /* xorshift64* */
{
    state ^= state >> 12;
    state ^= state << 25;
    state ^= state >> 27;
    return (state * 2685821657736338717ull) >> 16;
}

static int strikes(enum kind kind)
{
    if (!control || !control->rate[kind] || draw() % MILLION >= control->rate[kind])
        return 0;
    control->injected[kind]++;
    return 1;
}

static int fail(const int *errors, unsigned count)
{
    errno = errors[draw() % count];
    return -1;
}

#define FAIL(...)                                              \
    do {                                                       \
        static const int errors[] = {__VA_ARGS__};             \
        return fail(errors, sizeof errors / sizeof errors[0]); \
    } while (0)

static void mark(int descriptor, unsigned char opened)
{
    if (descriptor < 0 || descriptor >= MOST_DESCRIPTORS)
        return;
    opened_here[descriptor] = opened;
    dying[descriptor] = 0;
}

static int dies(int descriptor)
{
    if (descriptor < 0 || descriptor >= MOST_DESCRIPTORS || !opened_here[descriptor] || !strikes(DEAD))
        return 0;
    shutdown(descriptor, SHUT_RDWR); /* nothing goes either way any more */
    return 1;
}

int accept4(int listening, struct sockaddr *address, socklen_t *length, int flags)
{
    if (strikes(ACCEPT))
        FAIL(ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR);
    int made = system_accept4(listening, address, length, flags);
    mark(made, 0);
    return made;
}

int socket(int family, int type, int protocol)
{
    if (family == AF_INET && strikes(SOCKET))
        FAIL(EMFILE, ENFILE, ENOBUFS, ENOMEM);
    int made = system_socket(family, type, protocol);
    mark(made, 0);
    return made;
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length)
{
    if (address->sa_family == AF_INET && strikes(CONNECT))
        FAIL(EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, EINTR, EAGAIN);
    mark(descriptor, 1);
    return system_connect(descriptor, address, length);
}

ssize_t recv(int descriptor, void *buffer, size_t length, int flags)
{
    if (strikes(INTERRUPT))
        FAIL(EINTR);
    if (dies(descriptor))
        dying[descriptor] = 1;
    if (length > SHORT_LENGTH && strikes(SHORT_READ))
        length = 1 + draw() % SHORT_LENGTH;
    ssize_t taken = system_recv(descriptor, buffer, length, flags);
    if (taken == 0 && descriptor < MOST_DESCRIPTORS && dying[descriptor])
        FAIL(ETIMEDOUT, EHOSTUNREACH); /* as Linux does: what had come is read first */
    return taken;
}

ssize_t send(int descriptor, const void *buffer, size_t length, int flags)
{
    if (strikes(INTERRUPT))
        FAIL(EINTR);
    if (strikes(NO_BUFFERS))
        FAIL(ENOBUFS);
    if (dies(descriptor))
        FAIL(ETIMEDOUT, EHOSTUNREACH);
    if (length > SHORT_LENGTH && strikes(SHORT_WRITE))
        length = 1 + draw() % SHORT_LENGTH;
    return system_send(descriptor, buffer, length, flags);
}

ssize_t write(int descriptor, const void *buffer, size_t length)
{
    if (descriptor == STDERR_FILENO && strikes(LOG))
        FAIL(ENOSPC, EIO);
    return system_write(descriptor, buffer, length);
}

int epoll_wait(int descriptor, struct epoll_event *events, int most, int timeout)
{
    if (strikes(INTERRUPT))
        FAIL(EINTR);
    return system_epoll_wait(descriptor, events, most, timeout);
}
